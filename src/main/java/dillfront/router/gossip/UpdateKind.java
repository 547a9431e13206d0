package dillfront.router.gossip;

/**
 * What a word is about: its origin's being there or leaving, another instance's silence, or a
 * node's symptom.
 */
public enum UpdateKind {
    ALIVE,
    LEAVING,
    SILENT,
    CLAIM
}
