/** Starts the programs of the whole system, and warms up the classes that the build archives. */
package dillfront.bootstrap;
