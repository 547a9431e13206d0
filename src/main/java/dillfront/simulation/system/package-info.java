/** The whole system in simulated time. Begin with {@link dillfront.simulation.system.Day}. */
package dillfront.simulation.system;
