/** Measurement of the router's own event loop delay. */
package dillfront.router.pace;
