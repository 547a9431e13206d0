/** What database servers speak, and positions in their logs. */
package dillfront.common.database;
