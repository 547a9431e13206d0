/** The interface of the decisions: settings, node rows, results, and the port to their adapter. */
package dillfront.routing.api;
