/** The log of a process, and the counters of a router. */
package dillfront.common.logging;
