package succession

// Kinds of the objects in the store, each with one object for each service.
const (
	KindLeases  = "bronzeloft-leases"  // Lease
	KindRosters = "bronzeloft-rosters" // Roster
	KindFloors  = "bronzeloft-floors"  // KeptFloor
)
