package tablestore

// Row is one row of the table service.
type Row struct {
	Key string `json:"key"`
	// Version is incremented by each write; 0 means that the row does not exist.
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Condition is the version that a row must have for a transaction to commit.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put is one write of a transaction.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a conditional transaction over several rows.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Puts       []Put       `json:"puts"`
}

// ConflictError has the rows whose conditions did not hold.
type ConflictError struct {
	Rows []Row `json:"rows"`
}

// Error names the first conflicting row.
func (e *ConflictError) Error() string {
	if len(e.Rows) == 0 {
		return "conflict"
	}
	return "conflict on row " + e.Rows[0].Key
}
