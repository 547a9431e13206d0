/**
 * Assigns the primary of each service, which is the task of the lease holder. Begin with {@link
 * dillfront.controlplane.failover.FailoverCoordinator}.
 */
package dillfront.controlplane.failover;
