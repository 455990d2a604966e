package kqevacuate

// ZoneStatus counts what is still in an evacuated zone, as known to the owner of the cell.
type ZoneStatus struct {
	// Zone is the name of the availability zone.
	Zone string `json:"zone"`
	// AgeSeconds is the time in seconds for which the owner has known of the request.
	AgeSeconds int64 `json:"age_seconds"`
	// Workers is the number of workers in the zone.
	Workers int `json:"workers"`
	// Standing, Checkpointing and Ending are the numbers of runs of long-running tasks, of
	// other tasks with checkpoints, and of the remaining tasks. Runs that are being stopped
	// are not included.
	Standing      int `json:"standing"`
	Checkpointing int `json:"checkpointing"`
	Ending        int `json:"ending"`
	// Stopping is the number of runs that are being stopped.
	Stopping int `json:"stopping"`
}

// Report holds the status of all evacuated zones.
type Report struct {
	// Zones is sorted by name; it may be empty.
	Zones []ZoneStatus `json:"zones"`
}
