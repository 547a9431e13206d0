/** Routing decisions of the database router, without I/O: {@link dillfront.routing.Decide}. */
package dillfront.routing;
