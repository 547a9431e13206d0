/**
 * The whole system in simulated time. Begin with {@link
 * dillfront.simulation.system.SystemSimulation}.
 */
package dillfront.simulation.system;
