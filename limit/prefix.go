package limit

import "chestnutcleat.example/chestnutcleat"

// recordPrefix is the name prefix of customer records.
const recordPrefix = string(chestnutcleat.KindCustomer) + "/"
