# A sample of the operator's own file (docs/operators.md). LB_OPERATOR names it; without it nothing of this is on.
# One text for all instances: ME is all that differs. The keys are examples; make your own with `dillfront keygen`.

ME = "r1"

KEYS = {
    "r1": "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a",
    "r2": "3d4017c3e843895a92b70aa74d1b7ebc9c982ccf2ec4968cc0cd55f12af4660c",
    "r3": "fc51cd8e6218a1a38da47ed00230f0580816ed13ba3303ac5deb911548908025",
}

gossip(
    key = "/etc/dillfront/{}.key".format(ME),
    public = KEYS[ME],
    bytes_per_second = 3000,
    liars = 1,
)

port = 7946
for name in KEYS:
    peer(name, address = "127.0.0.1:{}".format(port), keys = [KEYS[name]])
    port += 1

control("127.0.0.1:9946")
