/**
 * The members and the configuration as one replicated value. Begin with {@link
 * dillfront.controlplane.consensus.ReplicatedRegister}.
 */
package dillfront.controlplane.consensus;
