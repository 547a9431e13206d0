/** Starts the data plane and the control plane, and the warm-up for the class-data archive. */
package dillfront.bootstrap;
