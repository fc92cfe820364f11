"""Types of the identifiers in a configuration."""

from typing import NewType

ConfigurationVersion = NewType("ConfigurationVersion", int)
DataCentreName = NewType("DataCentreName", str)
DocumentName = NewType("DocumentName", str)
EndpointId = NewType("EndpointId", str)
HostName = NewType("HostName", str)
ModelName = NewType("ModelName", str)
OperationName = NewType("OperationName", str)
PoolId = NewType("PoolId", str)
PublishId = NewType("PublishId", str)
RegionName = NewType("RegionName", str)
ServiceName = NewType("ServiceName", str)

NO_VERSION = ConfigurationVersion(0)
