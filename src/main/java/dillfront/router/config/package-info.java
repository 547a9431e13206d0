/** The router's configuration file, clock and settings. */
package dillfront.router.config;
