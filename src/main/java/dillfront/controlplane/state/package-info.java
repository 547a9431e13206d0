/** The state of one control process, shared by the components that act on it. */
package dillfront.controlplane.state;
