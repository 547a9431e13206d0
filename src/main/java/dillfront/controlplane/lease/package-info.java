/** Provides the lease for the singleton role of the control plane, and fencing tokens. */
package dillfront.controlplane.lease;
