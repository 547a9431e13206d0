/** Adapter that runs the routing engine over the simulator's JSON protocol. */
package dillfront.routing.simulator;
