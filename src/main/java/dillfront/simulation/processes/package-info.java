/** Many real router processes with nodes, clients and faults, and the auditor of the five rules. */
package dillfront.simulation.processes;
