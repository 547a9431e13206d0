/**
 * Runs real router processes against simulated nodes, clients and network faults, and checks the
 * five rules.
 */
package dillfront.simulation.processes;
