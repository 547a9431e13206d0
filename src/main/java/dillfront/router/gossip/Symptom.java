package dillfront.router.gossip;

/** State that an instance observed on a node itself. WELL withdraws an earlier claim. */
public enum Symptom {
    HUNG,
    REFUSING,
    UNREACHABLE,
    WELL
}
