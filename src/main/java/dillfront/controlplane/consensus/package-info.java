/**
 * Replicates the member set and the configuration of the control plane as one value. Begin with
 * {@link dillfront.controlplane.consensus.ReplicatedRegister}.
 */
package dillfront.controlplane.consensus;
