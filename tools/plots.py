"""The plot of goodput by tier and policy."""

import collections
import pathlib
import statistics
from collections.abc import Sequence

import matplotlib as mpl


def plot_goodput(summaries: Sequence[dict], path: pathlib.Path) -> None:
    """Draw the median share of goodput of each tier, with minimum and maximum, by policy."""
    mpl.use('Agg')
    # pyplot binds the backend when it is imported.
    from matplotlib import pyplot as plt

    groups = collections.defaultdict(list)
    for summary in summaries:
        groups[summary['settings']['policy']].append(summary)
    tiers = list(summaries[0]['tiers'])
    figure, axes = plt.subplots(figsize=(8, 4))
    width = 0.8 / len(groups)
    for index, (policy, found) in enumerate(groups.items()):
        shares = [_find_shares(found, tier) for tier in tiers]
        middles = [statistics.median(one) for one in shares]
        below = [middle - min(one) for middle, one in zip(middles, shares, strict=True)]
        above = [max(one) - middle for middle, one in zip(middles, shares, strict=True)]
        places = [place + index * width for place in range(len(tiers))]
        axes.bar(places, middles, width, yerr=(below, above), capsize=3, label=policy)
    middle_offset = width * (len(groups) - 1) / 2
    axes.set_xticks([place + middle_offset for place in range(len(tiers))], tiers)
    axes.set_ylabel('goodput / offered')
    axes.set_ylim(0, 1.05)
    settings = summaries[0]['settings']
    axes.set_title(f'{settings["deployment"]}, load {settings["load"]:g}')
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)


def _find_shares(summaries: Sequence[dict], tier: str) -> list[float]:
    found = [summary['tiers'][tier] for summary in summaries]
    return [one['goodput'] / max(one['offered'], 1) for one in found]
