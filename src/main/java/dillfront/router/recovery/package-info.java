/** Recovery of a fleet after a complete outage. Without I/O. */
package dillfront.router.recovery;
