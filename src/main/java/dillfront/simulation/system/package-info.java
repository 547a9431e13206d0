/**
 * Simulation of the whole system in simulated time. Start with {@link
 * dillfront.simulation.system.SystemSimulation}.
 */
package dillfront.simulation.system;
