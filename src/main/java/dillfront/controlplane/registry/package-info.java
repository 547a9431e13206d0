/** The registry of database servers, and its replication to all control processes. */
package dillfront.controlplane.registry;
