package laceconfig

// Section names a part of the document; an edit names the revision of each section that it changes.
type Section string

// The sections of the document.
const (
	SectionAccounts Section = "accounts"
	SectionServers  Section = "servers"
	SectionModels   Section = "models"
	SectionServices Section = "services"
	SectionRouting  Section = "routing"
	SectionLimits   Section = "limits"
	SectionAudit    Section = "audit"
)

// Sections returns every section in the order of the document.
func Sections() []Section {
	return []Section{
		SectionAccounts, SectionServers, SectionModels, SectionServices, SectionRouting, SectionLimits, SectionAudit,
	}
}

// Known reports whether the section exists.
func (s Section) Exists() bool { return s.Owner() != "" }

// Keyed reports whether the section is a mapping from ids to entries.
func (s Section) Keyed() bool {
	switch s {
	case SectionAccounts, SectionServers, SectionModels, SectionServices:
		return true
	default:
		return false
	}
}

// Owner returns the team that answers for a section.
func (s Section) Owner() string {
	switch s {
	case SectionAccounts:
		return "billing"
	case SectionServers:
		return "fleet"
	case SectionModels, SectionServices:
		return "catalogue"
	case SectionRouting, SectionLimits:
		return "operations"
	case SectionAudit:
		return "security"
	default:
		return ""
	}
}

// Doc returns what a section holds, in one sentence.
func (s Section) Description() string {
	switch s {
	case SectionAccounts:
		return "Client accounts by id, with their API keys, budgets and limits."
	case SectionServers:
		return "Backend servers by id."
	case SectionModels:
		return "Models that callers can ask for, by id."
	case SectionServices:
		return "Plain services that callers can reach, by id."
	case SectionRouting:
		return "Choice of backend servers."
	case SectionLimits:
		return "Limits of each instance and the defaults of client accounts."
	case SectionAudit:
		return "Retention of audit records."
	default:
		return ""
	}
}
