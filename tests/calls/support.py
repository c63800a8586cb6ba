from camphorpath.settings import parse_fleet

FLEET = """
fleet:
  deployment: test
  default_customer: parish
  regions:
    - {name: north, zones: [north-a, north-b]}
    - {name: south, zones: [south-a]}
  tiers:
    - {name: high, rank: 0, answer_timeout: 10s}
    - {name: mid, rank: 1, answer_timeout: 20s}
    - {name: low, rank: 2, answer_timeout: 30s}
  customers:
    - {name: parish, tier: mid}
    - {name: undertaker, tier: high, token_sha256: %s}
    - {name: workshop, tier: low}
  services:
    - name: scribe
      kind: model
      models: [scribe-1]
      default_pool: old
      default_tier: low
      pools:
        - {name: old}
        - {name: new}
    - name: ledger
      kind: plain
      default_pool: old
      pools:
        - {name: old}
        - {name: new}
      operations:
        - {method: POST, path: /search, idempotent: true}
        - {method: POST, path: /search/book, idempotent: false}
        - {method: GET, path: /next-number, idempotent: false}
  rollouts:
    - {name: half, service: ledger, pool: new, share: 50%%}
    - {name: first, service: scribe, pool: new, customers: [workshop]}
  exceptions:
    - {name: slow, reason: whole registers, customer: workshop, service: scribe, answer_timeout: 5m}
    - {name: pinned, reason: moved early, customer: undertaker, service: ledger, pool: new}
"""
# SHA-256 of "secret".
TOKEN_SHA256 = '2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b'


def make_fleet():
    return parse_fleet(FLEET % f'"{TOKEN_SHA256}"', 'test.yaml')
