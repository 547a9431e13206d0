package dillfront.router.gossip;

/**
 * Kind of an update: its origin is alive or leaving, another instance does not answer, or a node
 * shows a symptom.
 */
public enum UpdateKind {
    ALIVE,
    LEAVING,
    SILENT,
    CLAIM
}
