/** Log lines and counters of the router. */
package dillfront.common.logging;
