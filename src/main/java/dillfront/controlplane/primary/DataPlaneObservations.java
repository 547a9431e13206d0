package dillfront.controlplane.primary;

/** Provides the reports of the data planes that poll this control process. */
public interface DataPlaneObservations {

    /** Returns the merged observations of the primary. */
    PrimaryObservation observation(String service, String primary);

    /** Returns whether every data plane has the record or no longer trusts an earlier one. */
    boolean allHaveRecord(long recordNumber);
}
