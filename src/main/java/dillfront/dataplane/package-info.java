/**
 * The data plane: client sessions on pooled connections to database servers. Start with {@link
 * dillfront.dataplane.DataPlaneNode} and {@link dillfront.dataplane.ClientSession}.
 */
package dillfront.dataplane;
