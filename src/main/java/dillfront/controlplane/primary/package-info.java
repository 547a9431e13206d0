/** Provides primary records, and the known state of primaries and acknowledged commits. */
package dillfront.controlplane.primary;
