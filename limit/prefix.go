package limit

import "chestnutcleat.example/chestnutcleat"

// recordPrefix is the kind of owner that takes the records.
const recordPrefix = string(chestnutcleat.KindCustomer) + "/"
