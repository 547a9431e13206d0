/** The disk of a control process, which may refuse writes for a while. */
package dillfront.controlplane.storage;
