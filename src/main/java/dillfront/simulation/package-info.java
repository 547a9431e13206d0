/** Model checks and measurements in simulated time and with real processes. */
package dillfront.simulation;
