/** The database servers that are known, and their replication to all control processes. */
package dillfront.controlplane.registry;
