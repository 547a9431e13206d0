package dillfront.controlplane.primary;

/** What the data planes that poll one control process told it. */
public interface DataPlaneObservations {

    /** What they see of this primary. */
    PrimaryObservation observation(String service, String primary);

    /** Whether all of them have this record, or hold nothing certain against it. */
    boolean allHaveRecord(long recordNumber);
}
