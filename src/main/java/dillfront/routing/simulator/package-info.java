/** The decisions on the simulator's wire. */
package dillfront.routing.simulator;
