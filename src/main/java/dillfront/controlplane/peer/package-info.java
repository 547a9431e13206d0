/** The other control processes: connections, messages, and what a majority of them has. */
package dillfront.controlplane.peer;
