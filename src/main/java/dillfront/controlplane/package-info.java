/**
 * The control plane. {@link dillfront.controlplane.ControlNode} runs one process of it and connects
 * the components of the subpackages.
 */
package dillfront.controlplane;
