/** Persistent state of a control process, with retries of failed writes. */
package dillfront.controlplane.storage;
