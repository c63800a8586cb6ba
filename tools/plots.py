"""Plots goodput by tier and policy."""

import collections
import pathlib
import statistics
from collections.abc import Sequence

import matplotlib as mpl


def plot_goodput(summaries: Sequence[dict], path: pathlib.Path) -> None:
    """Plot goodput shares (median, minimum and maximum) by tier and policy to the file `path`."""
    mpl.use('Agg')
    # pyplot selects its backend on import, so `mpl.use` must come first.
    from matplotlib import pyplot as plt

    groups = collections.defaultdict(list)
    for summary in summaries:
        groups[summary['settings']['policy']].append(summary)
    tiers = list(summaries[0]['tiers'])
    figure, axes = plt.subplots(figsize=(8, 4))
    width = 0.8 / len(groups)
    for index, (policy, policy_summaries) in enumerate(groups.items()):
        shares = [_list_goodput_shares(policy_summaries, tier) for tier in tiers]
        medians = [statistics.median(tier_shares) for tier_shares in shares]
        below = [
            middle - min(tier_shares) for middle, tier_shares in zip(medians, shares, strict=True)
        ]
        above = [
            max(tier_shares) - middle for middle, tier_shares in zip(medians, shares, strict=True)
        ]
        positions = [position + index * width for position in range(len(tiers))]
        axes.bar(positions, medians, width, yerr=(below, above), capsize=3, label=policy)
    middle_offset = width * (len(groups) - 1) / 2
    axes.set_xticks([position + middle_offset for position in range(len(tiers))], tiers)
    axes.set_ylabel('goodput / offered')
    axes.set_ylim(0, 1.05)
    settings = summaries[0]['settings']
    axes.set_title(f'{settings["deployment"]}, load {settings["load"]:g}')
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)


def _list_goodput_shares(summaries: Sequence[dict], tier: str) -> list[float]:
    results = [summary['tiers'][tier] for summary in summaries]
    return [result['goodput'] / max(result['offered'], 1) for result in results]
