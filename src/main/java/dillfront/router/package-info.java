/**
 * The router process (`serve`): start, shutdown, and the connection between the network and the
 * routing engine.
 */
package dillfront.router;
