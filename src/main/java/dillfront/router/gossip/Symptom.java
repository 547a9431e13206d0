package dillfront.router.gossip;

/** What an instance saw of a node by itself. WELL takes an earlier claim back. */
public enum Symptom {
    HUNG,
    REFUSING,
    UNREACHABLE,
    WELL
}
