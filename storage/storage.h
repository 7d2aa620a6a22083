// Public header of the storage library: clients of the table service, the
// object store and the instance list, and the records kept in them.
#ifndef STORAGE_STORAGE_H_
#define STORAGE_STORAGE_H_

#include "storage/claim_store.h"
#include "storage/configuration_store.h"
#include "storage/http_fetch.h"
#include "storage/instance_list_client.h"
#include "storage/object_client.h"
#include "storage/table_client.h"

#endif  // STORAGE_STORAGE_H_
