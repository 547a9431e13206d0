/** The router's listener and its client connections. */
package dillfront.router.frontend;
