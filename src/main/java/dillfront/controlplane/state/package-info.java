/** The state of one control process, for the parts that act on it. */
package dillfront.controlplane.state;
