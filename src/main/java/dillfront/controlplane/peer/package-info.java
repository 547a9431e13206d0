/** Communication with the other control processes: connections, messages and quorum queries. */
package dillfront.controlplane.peer;
