/** The lease for the singleton role, and fencing tokens. */
package dillfront.controlplane.lease;
