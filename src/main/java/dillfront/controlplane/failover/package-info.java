/**
 * The lease holder's role: which server is the primary of each service. Begin with {@link
 * dillfront.controlplane.failover.FailoverCoordinator}.
 */
package dillfront.controlplane.failover;
