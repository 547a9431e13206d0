/**
 * The control plane: one process of it is a {@link dillfront.controlplane.ControlNode}, which wires
 * the parts below.
 */
package dillfront.controlplane;
