/** Primary records, and what is known of primaries and of acknowledged commits. */
package dillfront.controlplane.primary;
